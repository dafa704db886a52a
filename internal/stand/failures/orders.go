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

// ordersSettle bounds the time after the last fault in which the engines come to what the
// configuration says.
const ordersSettle = 2 * time.Minute

// ordersPoll is the pause between two looks at what the engines have loaded.
const ordersPoll = 500 * time.Millisecond

// staleOrders waits until each engine has loaded what the newest configuration says. It returns
// those that have not, and how long that took.
func (f *fleet) staleOrders(ctx context.Context) ([]string, time.Duration) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, ordersSettle)
	defer cancel()
	for {
		stale := f.enginesThatDiffer()
		if len(stale) == 0 || ctx.Err() != nil {
			return stale, time.Since(started)
		}
		pause.For(ctx, ordersPoll)
	}
}

func (f *fleet) enginesThatDiffer() []string {
	wanted := f.wanted()
	var differ []string
	for _, m := range f.engines {
		loaded, err := loadedBy(m)
		if err != nil || !slices.Equal(loaded, wanted) {
			differ = append(differ, m.Name+" has "+strings.Join(loaded, ",")+", not "+strings.Join(wanted, ","))
		}
	}
	return differ
}

// wanted returns what the newest configuration in force anywhere lets the engines load.
func (f *fleet) wanted() []string {
	var newest *policy.Configuration
	for _, m := range f.entries {
		configuration, err := inForce(m)
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

func loadedBy(m *member) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.vm.Address+enginewire.PathLoad, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read the load of "+m.Name)
	}
	defer response.Body.Close()
	var report enginewire.LoadReport
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return nil, errors.Wrap(err, "decode the load of "+m.Name)
	}
	var list []string
	for _, loaded := range report.Loaded {
		list = append(list, loaded.Model+"@"+loaded.Version+"+"+loaded.Adapter)
	}
	slices.Sort(list)
	return list, nil
}
