package platform

import (
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"godwitcart/internal/stand/standhttp"
	"godwitcart/internal/wire/platformwire"
)

// maxWatchWait bounds how long a watch waits for a change.
const maxWatchWait = time.Minute

// outageRetryAfter is the retry delay in responses during an outage.
const outageRetryAfter = time.Second

// AddressOverrides replaces addresses in the VM list by VM name. The failure tests use it to route the traffic of an
// availability zone to other zones through links with injected faults. Empty addresses change nothing.
type AddressOverrides map[string]Addresses

// Addresses are the overriding addresses (host:port) of one VM.
type Addresses struct {
	Address     string `yaml:"address,omitempty"`
	PeerAddress string `yaml:"peer_address,omitempty"`
}

// Handler serves the platform API that package platformwire defines.
func (p *Platform) Handler() http.Handler { return p.HandlerWithOverrides(nil) }

// HandlerWithOverrides is Handler with addresses in the VM list overridden.
func (p *Platform) HandlerWithOverrides(overrides AddressOverrides) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platformwire.PathObject+"{key...}", p.limitReads(p.getObject))
	mux.HandleFunc("PUT "+platformwire.PathObject+"{key...}", p.limitWrites(p.putObject))
	mux.HandleFunc("DELETE "+platformwire.PathObject+"{key...}", p.limitWrites(p.deleteObject))
	mux.HandleFunc("GET "+platformwire.PathList, p.limitReads(p.list))
	mux.HandleFunc("GET "+platformwire.PathWatch, p.limitReads(p.watch))
	mux.HandleFunc("GET "+platformwire.PathVMs, p.limitReads(p.listVMs(overrides)))
	mux.HandleFunc("POST "+platformwire.PathWeights, p.guard(p.weightLimiter, p.readWeights))
	return mux
}

func (p *Platform) limitReads(next http.HandlerFunc) http.HandlerFunc {
	return p.guard(p.readLimiter, func(w http.ResponseWriter, r *http.Request) {
		p.counts.reads.Add(1)
		next(w, r)
	})
}

func (p *Platform) limitWrites(next http.HandlerFunc) http.HandlerFunc {
	return p.guard(p.writeLimiter, func(w http.ResponseWriter, r *http.Request) {
		p.counts.writes.Add(1)
		next(w, r)
	})
}

// guard applies the faults and the rate limit before next handles the call.
func (p *Platform) guard(limiter *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.faults.waitOutDelays(r) {
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
	object, applied := p.objects.put(r.PathValue("key"), request.Value, request.ExpectedVersion)
	p.respondToWrite(w, object, applied)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	expected, err := strconv.ParseUint(r.URL.Query().Get("expected_version"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "expected_version is not a number", 0)
		return
	}
	object, applied := p.objects.remove(r.PathValue("key"), expected)
	p.respondToWrite(w, object, applied)
}

// respondToWrite responds to a conditional update, or closes the connection where a fault drops the response.
func (p *Platform) respondToWrite(w http.ResponseWriter, object platformwire.Object, applied bool) {
	if applied && p.faults.consumeLostAnswer() {
		p.counts.lost.Add(1)
		panic(http.ErrAbortHandler)
	}
	if !applied {
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
	wait := min(time.Duration(waitMillis)*time.Millisecond, maxWatchWait)
	p.counts.watches.Add(1)
	response := p.objects.watch(r.Context(), query.Get("prefix"), after, wait)
	p.respondToWatch(w, r, response)
}

// respondToWatch applies the faults again, so that a watch that ends during an outage or a freeze is affected too.
func (p *Platform) respondToWatch(w http.ResponseWriter, r *http.Request, response platformwire.WatchResponse) {
	if !p.faults.waitOutDelays(r) {
		return
	}
	if faults, _ := p.faults.get(); faults.Outage {
		refuse(w, http.StatusServiceUnavailable, "the platform is in an outage", outageRetryAfter)
		return
	}
	standhttp.WriteJSON(w, http.StatusOK, response)
}

func (p *Platform) listVMs(overrides AddressOverrides) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		list := p.vms.list(time.Now())
		for i := range list.VMs {
			overrides.apply(&list.VMs[i])
		}
		standhttp.WriteJSON(w, http.StatusOK, list)
	}
}

func (o AddressOverrides) apply(vm *platformwire.VM) {
	addresses := o[vm.Name]
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
