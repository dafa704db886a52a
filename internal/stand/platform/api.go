package platform

import (
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"godwitcart/internal/stand/standhttp"
	"godwitcart/internal/wire/platformwire"
)

// maxWait bounds how long a watch waits.
const maxWait = time.Minute

// outageRetryAfter is what callers are told during an outage.
const outageRetryAfter = time.Second

// View gives some VMs other addresses, as an availability zone sees them whose links to other
// zones are faulted in the test. It is by the VM's name; empty addresses change nothing.
type View map[string]Addresses

// Addresses are the host:port of one VM in a View.
type Addresses struct {
	Address     string `yaml:"address,omitempty"`
	PeerAddress string `yaml:"peer_address,omitempty"`
}

// Handler serves the platform's interface, see platformwire.
func (p *Platform) Handler() http.Handler { return p.HandlerFor(nil) }

// HandlerFor is Handler with the list of VMs as in the view.
func (p *Platform) HandlerFor(view View) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platformwire.PathObject+"{key...}", p.read(p.getObject))
	mux.HandleFunc("PUT "+platformwire.PathObject+"{key...}", p.write(p.putObject))
	mux.HandleFunc("DELETE "+platformwire.PathObject+"{key...}", p.write(p.deleteObject))
	mux.HandleFunc("GET "+platformwire.PathList, p.read(p.list))
	mux.HandleFunc("GET "+platformwire.PathWatch, p.read(p.watch))
	mux.HandleFunc("GET "+platformwire.PathVMs, p.read(p.listVMs(view)))
	mux.HandleFunc("POST "+platformwire.PathWeights, p.guard(p.weights, p.readWeights))
	return mux
}

func (p *Platform) read(next http.HandlerFunc) http.HandlerFunc {
	return p.guard(p.reads, func(w http.ResponseWriter, r *http.Request) {
		p.counts.reads.Add(1)
		next(w, r)
	})
}

func (p *Platform) write(next http.HandlerFunc) http.HandlerFunc {
	return p.guard(p.writes, func(w http.ResponseWriter, r *http.Request) {
		p.counts.writes.Add(1)
		next(w, r)
	})
}

// guard applies the faults and the call rate before a call is handled.
func (p *Platform) guard(limiter *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.faults.pass(r) {
			return
		}
		if faults, _ := p.faults.get(); faults.Outage {
			refuse(w, http.StatusServiceUnavailable, "the platform is in an outage", outageRetryAfter)
			return
		}
		if !limiter.Allow() {
			p.counts.limited.Add(1)
			refuse(w, http.StatusTooManyRequests, "the call rate is used up", time.Second/10)
			return
		}
		next(w, r)
	}
}

func refuse(w http.ResponseWriter, status int, message string, retryAfter time.Duration) {
	standhttp.WriteJSON(w, status, platformwire.ErrorResponse{
		Message:          message,
		RetryAfterMillis: retryAfter.Milliseconds(),
	})
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	object := p.objects.get(r.PathValue("key"))
	if object.Version == 0 {
		refuse(w, http.StatusNotFound, "no object has this key", 0)
		return
	}
	standhttp.WriteJSON(w, http.StatusOK, object)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	var request platformwire.PutRequest
	if err := standhttp.ReadJSON(w, r, &request); err != nil {
		refuse(w, http.StatusBadRequest, err.Error(), 0)
		return
	}
	if len(request.Value) > platformwire.MaxValueBytes {
		refuse(w, http.StatusRequestEntityTooLarge, "the value is larger than a megabyte", 0)
		return
	}
	object, ok := p.objects.put(r.PathValue("key"), request.Value, request.ExpectedVersion)
	p.answerWrite(w, object, ok)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	expected, err := strconv.ParseUint(r.URL.Query().Get("expected_version"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "expected_version is not a number", 0)
		return
	}
	object, ok := p.objects.remove(r.PathValue("key"), expected)
	p.answerWrite(w, object, ok)
}

// answerWrite answers a conditional update, or breaks the connection where the answer is to be lost.
func (p *Platform) answerWrite(w http.ResponseWriter, object platformwire.Object, ok bool) {
	if ok && p.faults.losesAnswer() {
		p.counts.lost.Add(1)
		panic(http.ErrAbortHandler)
	}
	if !ok {
		standhttp.WriteJSON(w, http.StatusConflict, platformwire.ErrorResponse{
			Message: "the object has another version",
			Current: &object,
		})
		return
	}
	standhttp.WriteJSON(w, http.StatusOK, object)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	standhttp.WriteJSON(w, http.StatusOK, p.objects.list(r.URL.Query().Get("prefix")))
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "after is not a revision", 0)
		return
	}
	waitMillis, _ := strconv.ParseInt(query.Get("wait_millis"), 10, 64)
	wait := min(time.Duration(waitMillis)*time.Millisecond, maxWait)
	p.counts.watches.Add(1)
	response := p.objects.watch(r.Context(), query.Get("prefix"), after, wait)
	p.answerWatch(w, r, response)
}

// answerWatch holds back a watch that ends during an outage or a freeze.
func (p *Platform) answerWatch(w http.ResponseWriter, r *http.Request, response platformwire.WatchResponse) {
	if !p.faults.pass(r) {
		return
	}
	if faults, _ := p.faults.get(); faults.Outage {
		refuse(w, http.StatusServiceUnavailable, "the platform is in an outage", outageRetryAfter)
		return
	}
	standhttp.WriteJSON(w, http.StatusOK, response)
}

func (p *Platform) listVMs(view View) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		list := p.vms.list(time.Now())
		for i := range list.VMs {
			view.apply(&list.VMs[i])
		}
		standhttp.WriteJSON(w, http.StatusOK, list)
	}
}

func (v View) apply(vm *platformwire.VM) {
	addresses := v[vm.Name]
	if addresses.Address != "" {
		vm.Address = addresses.Address
	}
	if addresses.PeerAddress != "" {
		vm.PeerAddress = addresses.PeerAddress
	}
}

func (p *Platform) readWeights(w http.ResponseWriter, r *http.Request) {
	var request platformwire.WeightRequest
	if err := standhttp.ReadJSON(w, r, &request); err != nil {
		refuse(w, http.StatusBadRequest, err.Error(), 0)
		return
	}
	p.counts.weights.Add(1)
	standhttp.WriteJSON(w, http.StatusOK, request)
}
