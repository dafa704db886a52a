package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/jsonparts"
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return list, errors.Wrap(err, "read the list of VMs")
	}
	list, err = decodeVMList(body)
	return list, errors.Wrap(err, "read the list of VMs")
}

// decodeVMList decodes the list entry by entry: one that cannot be read names no VM, and must not hide the others.
func decodeVMList(body []byte) (platformwire.VMList, error) {
	var list platformwire.VMList
	members, err := jsonparts.Members(body)
	if err != nil {
		return list, err
	}
	entries, err := jsonparts.Elements(members["vms"])
	if err != nil {
		return list, err
	}
	for _, entry := range entries {
		var vm platformwire.VM
		if err := json.Unmarshal(entry, &vm); err != nil || vm.Name == "" {
			entriesIgnored.Inc(1)
			continue
		}
		list.VMs = append(list.VMs, vm)
	}
	return list, nil
}

// entriesIgnored counts the entries of the list that name no VM.
var entriesIgnored = metrics.GetOrRegisterCounter("lister.entries_ignored", nil)
