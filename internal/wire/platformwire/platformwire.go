// Package platformwire defines the HTTP messages of the platform: the object API,
// the list of VMs and the weight store. All bodies are JSON.
package platformwire

// Paths of the platform.
const (
	// PathObject, followed by a key: GET and PUT (of a PutRequest) return Object, DELETE takes
	// the query parameter "expected_version".
	PathObject = "/v1/objects/"
	// PathList: GET with the query parameter "prefix" returns ListResponse.
	PathList = "/v1/list"
	// PathWatch: GET with the query parameters "prefix", "after" (a revision) and "wait_millis"
	// returns WatchResponse, as soon as there is an event or at the end of the wait.
	PathWatch = "/v1/watch"
	// PathVMs: GET returns VMList.
	PathVMs = "/v1/vms"
	// PathWeights: POST of WeightRequest; status 429 means that the rate limit is exceeded.
	PathWeights = "/v1/weights"
)

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// Object is one stored object.
type Object struct {
	Key string `json:"key"`
	// Version is the store's revision at the object's last change; zero means that the object does not exist.
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// PutRequest is a conditional update.
type PutRequest struct {
	Value []byte `json:"value"`
	// ExpectedVersion must equal the object's version; zero means that the object must not exist.
	ExpectedVersion uint64 `json:"expected_version"`
}

// ErrorResponse is the body of every response with a status other than 2xx.
type ErrorResponse struct {
	Message string `json:"message"`
	// Current is the current object, set with status 409.
	Current *Object `json:"current,omitempty"`
	// RetryAfterMillis is the delay before a retry, set with status 429 and 503.
	RetryAfterMillis int64 `json:"retry_after_millis,omitempty"`
}

// ListResponse holds the objects under a prefix, ordered by key.
type ListResponse struct {
	// Revision is the store's revision at which the list was read; a watch continues after it.
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// WatchResponse holds the changes after a revision, in commit order.
type WatchResponse struct {
	// Revision is the revision after which the next watch continues.
	Revision uint64   `json:"revision"`
	Events   []Object `json:"events"`
	// Compacted means that the store has dropped events after the requested revision; the client must list again.
	Compacted bool `json:"compacted,omitempty"`
}

// VM is one entry of VMList.
type VM struct {
	Name string `json:"name" yaml:"name"`
	// Role is "entry" or "target".
	Role    string `json:"role" yaml:"role"`
	Region  string `json:"region,omitempty" yaml:"region,omitempty"`
	Zone    string `json:"zone" yaml:"zone"`
	Service string `json:"service,omitempty" yaml:"service,omitempty"`
	Address string `json:"address" yaml:"address"`
	// PeerAddress and AdminAddress are set for entry VMs only.
	PeerAddress  string `json:"peer_address,omitempty" yaml:"peer_address,omitempty"`
	AdminAddress string `json:"admin_address,omitempty" yaml:"admin_address,omitempty"`
	Leaving      bool   `json:"leaving,omitempty" yaml:"leaving,omitempty"`
}

// VMList is the list of live and leaving VMs without those that have left. It may be outdated when it is read.
type VMList struct {
	VMs []VM `json:"vms" yaml:"vms"`
}

// WeightRequest requests the weights of a model version or adapter.
type WeightRequest struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}
