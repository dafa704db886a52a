// Package platformwire defines the HTTP messages of the platform: its object API,
// its list of VMs and its weight store. All bodies are JSON.
package platformwire

// The paths of the platform.
const (
	// PathObject, followed by a key: GET answers Object, PUT takes PutRequest, DELETE takes
	// the query parameter "expected_version".
	PathObject = "/v1/objects/"
	// PathList answers a GET with the query parameter "prefix" with ListResponse.
	PathList = "/v1/list"
	// PathWatch answers a GET with the query parameters "prefix", "after" (a revision) and
	// "wait_millis" with WatchResponse, as soon as there is an event or the wait is over.
	PathWatch = "/v1/watch"
	// PathVMs answers a GET with VMList.
	PathVMs = "/v1/vms"
	// PathWeights takes a POST of WeightRequest; 429 means that the rate is used up.
	PathWeights = "/v1/weights"
)

// MaxValueBytes is the largest value of an object.
const MaxValueBytes = 1 << 20

// Object is one stored object.
type Object struct {
	Key string `json:"key"`
	// Version is the store's revision at the object's last change; zero means that it does not exist.
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// PutRequest is a conditional update.
type PutRequest struct {
	Value []byte `json:"value"`
	// ExpectedVersion must equal the object's version; zero means that it must not exist.
	ExpectedVersion uint64 `json:"expected_version"`
}

// ErrorResponse is the body of every answer that is not 2xx.
type ErrorResponse struct {
	Message string `json:"message"`
	// Current is the object as it stands, on a 409 conflict.
	Current *Object `json:"current,omitempty"`
	// RetryAfterMillis says when to come back, on 429 and 503.
	RetryAfterMillis int64 `json:"retry_after_millis,omitempty"`
}

// ListResponse holds the objects under a prefix, in the order of their keys.
type ListResponse struct {
	// Revision is the store's revision that the list was read at; a watch continues after it.
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// WatchResponse holds the changes after a revision, in the order in which they were made.
type WatchResponse struct {
	// Revision is where the next watch continues.
	Revision uint64   `json:"revision"`
	Events   []Object `json:"events"`
	// Compacted means that events were dropped: list again.
	Compacted bool `json:"compacted,omitempty"`
}

// VM is one entry of the platform's list.
type VM struct {
	Name string `json:"name" yaml:"name"`
	// Role is "entry" or "target".
	Role    string `json:"role" yaml:"role"`
	Region  string `json:"region,omitempty" yaml:"region,omitempty"`
	Zone    string `json:"zone" yaml:"zone"`
	Service string `json:"service,omitempty" yaml:"service,omitempty"`
	Address string `json:"address" yaml:"address"`
	// PeerAddress and AdminAddress are set for entry VMs.
	PeerAddress  string `json:"peer_address,omitempty" yaml:"peer_address,omitempty"`
	AdminAddress string `json:"admin_address,omitempty" yaml:"admin_address,omitempty"`
	Leaving      bool   `json:"leaving,omitempty" yaml:"leaving,omitempty"`
}

// VMList is the lagging list of live and leaving VMs; one that has left is absent.
type VMList struct {
	VMs []VM `json:"vms" yaml:"vms"`
}

// WeightRequest asks to read the weights of a model version or adapter.
type WeightRequest struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}
