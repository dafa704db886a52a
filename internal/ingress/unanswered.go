package ingress

import "net/http"

// SetRequestID names the request in progress on the connection of r for Listener.Unanswered.
func SetRequestID(r *http.Request, id string) {
	c, guarded := r.Context().Value(clientKey{}).(*client)
	if !guarded {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestID = id
}

// Unanswered returns the ids of the requests that were read completely and whose answers are not written completely: of those in
// service, and of those whose handlers have returned while bytes of the answer wait for the client. A request without an id
// counts with an empty one.
func (l *Listener) Unanswered() []string {
	l.mu.Lock()
	clients := make([]*client, 0, len(l.clients))
	for c := range l.clients {
		clients = append(clients, c)
	}
	l.mu.Unlock()
	var ids []string
	for _, c := range clients {
		if id, isUnanswered := c.unanswered(); isUnanswered {
			ids = append(ids, id)
		}
	}
	return ids
}

// unanswered returns the id of the request that is whole and not answered completely, and false if there is none.
func (c *client) unanswered() (id string, isUnanswered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestID, c.whole > 0
}
