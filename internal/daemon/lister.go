package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/wire/platformwire"
)

// maxListBytes bounds the size of the platform's list of VMs.
const maxListBytes = 8 << 20

// lister reads the platform's list of VMs. It implements membership.Lister.
type lister struct {
	baseURL string
	client  http.Client
}

// List reads the list once. The client has no timeout of its own; ctx bounds the call.
func (l *lister) List(ctx context.Context) (platformwire.VMList, error) {
	var list platformwire.VMList
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.baseURL+platformwire.PathVMs, nil)
	if err != nil {
		return list, errors.Wrap(err, "read the list of VMs")
	}
	response, err := l.client.Do(request)
	if err != nil {
		return list, errors.Wrap(err, "read the list of VMs")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return list, errors.Newf("read the list of VMs: the platform answered %s", response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list)
	return list, errors.Wrap(err, "read the list of VMs")
}
