package membership

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/wire/platformwire"
)

// maxListBytes bounds the platform's list.
const maxListBytes = 4 << 20

// PlatformList reads the platform's list of VMs over HTTP.
type PlatformList struct {
	url    string
	client *http.Client
}

// NewPlatformList returns a Lister for the platform at the base URL.
func NewPlatformList(url string, client *http.Client) *PlatformList {
	return &PlatformList{url: strings.TrimSuffix(url, "/") + platformwire.PathVMs, client: client}
}

// List implements Lister.
func (l *PlatformList) List(ctx context.Context) (platformwire.VMList, error) {
	list, err := l.read(ctx)
	if err != nil {
		return list, apierror.Wrap(err, apierror.KindUnavailable, "cannot read the platform's list of VMs", "the last list stays in force; check the platform")
	}
	return list, nil
}

func (l *PlatformList) read(ctx context.Context) (platformwire.VMList, error) {
	var list platformwire.VMList
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return list, err
	}
	response, err := l.client.Do(request)
	if err != nil {
		return list, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return list, errors.Newf("status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list)
	return list, err
}
