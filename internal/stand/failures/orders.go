package failures

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/pause"
	"godwitcart/internal/policy"
	"godwitcart/internal/wire/enginewire"
)

// ordersTimeout bounds the time after the run in which the engines must load what the configuration says.
const ordersTimeout = 2 * time.Minute

// ordersPollInterval is the interval between checks of the versions that engines have loaded.
const ordersPollInterval = 500 * time.Millisecond

// waitForOrders waits until each engine has loaded what the newest configuration says, or until ordersTimeout. It
// returns descriptions of the engines that have not, and the time waited.
func (f *fleet) waitForOrders(ctx context.Context) ([]string, time.Duration) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, ordersTimeout)
	defer cancel()
	for {
		mismatched := f.mismatchedEngines()
		if len(mismatched) == 0 || ctx.Err() != nil {
			return mismatched, time.Since(started)
		}
		pause.For(ctx, ordersPollInterval)
	}
}

// mismatchedEngines describes the engines that have loaded other versions than configured or can't be reached.
func (f *fleet) mismatchedEngines() []string {
	expected := f.expectedLoads()
	var mismatched []string
	for _, m := range f.engines {
		loaded, err := loadedVersions(m)
		if err != nil || !slices.Equal(loaded, expected) {
			mismatched = append(mismatched, m.Name+" has loaded "+strings.Join(loaded, ",")+", expected "+strings.Join(expected, ","))
		}
	}
	return mismatched
}

// expectedLoads returns the variants that the newest configuration in force on any entry VM has the engines load.
func (f *fleet) expectedLoads() []string {
	var newest *policy.Configuration
	for _, m := range f.entries {
		configuration, err := configurationInForce(m)
		if err == nil && (newest == nil || configuration.Version > newest.Version) {
			newest = configuration
		}
	}
	if newest == nil {
		return nil
	}
	var list []string
	for _, variant := range newest.Services[engineService].Loads {
		list = append(list, variant.Model+"@"+variant.Version+"+"+variant.Adapter)
	}
	slices.Sort(list)
	return list
}

func loadedVersions(m *member) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.vm.Address+enginewire.PathLoad, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read the load report of "+m.Name)
	}
	defer response.Body.Close()
	var report enginewire.LoadReport
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return nil, errors.Wrap(err, "decode the load report of "+m.Name)
	}
	var list []string
	for _, loaded := range report.Loaded {
		list = append(list, loaded.Model+"@"+loaded.Version+"+"+loaded.Adapter)
	}
	slices.Sort(list)
	return list, nil
}
