// Package tlsconfig builds TLS configurations for listeners and for dialling peers, from files that
// may change while the process runs.
//
// The files are looked at again on handshakes, at most once in a CheckInterval. New files that
// cannot be used leave the old ones in force and are counted and logged.
package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	gometrics "github.com/rcrowley/go-metrics"

	"godwitcart/internal/apierror"
)

// CheckInterval is the shortest time between two looks at the files.
const CheckInterval = time.Second

// Files names PEM files.
type Files struct {
	// Cert is the certificate chain and Key its private key.
	Cert, Key string
	// CA holds the authorities that the other side must be signed by; empty on listeners that
	// take any client.
	CA string
}

// Reloader holds the current content of Files. It is safe for concurrent use.
type Reloader struct {
	files    Files
	logger   *log.Logger
	reloads  gometrics.Counter
	failures gometrics.Counter

	mu        sync.Mutex
	checkedAt time.Time
	stamps    [3]stamp
	loaded    material
}

// stamp tells two versions of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// material is the content of the files.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// New reads the files. It fails when they cannot be used.
func New(files Files, logger *log.Logger) (*Reloader, error) {
	r := &Reloader{
		files:    files,
		logger:   logger,
		reloads:  gometrics.GetOrRegisterCounter("tls.reloads", nil),
		failures: gometrics.GetOrRegisterCounter("tls.reload_failures", nil),
	}
	r.stamps = files.stamps()
	r.checkedAt = time.Now()
	loaded, err := files.read()
	if err != nil {
		return nil, err
	}
	r.loaded = loaded
	return r, nil
}

// stamps returns a stamp for each file; a file that cannot be looked at has the zero stamp.
func (f Files) stamps() (stamps [3]stamp) {
	for i, path := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return stamps
}

func (f Files) read() (material, error) {
	const remedy = "write a PEM certificate chain, its key and, for peers, the authorities"
	certificate, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return material{}, apierror.Wrap(err, apierror.KindBadRequest, "cannot use certificate "+f.Cert+" with key "+f.Key, remedy)
	}
	if f.CA == "" {
		return material{certificate: certificate}, nil
	}
	text, err := os.ReadFile(f.CA)
	if err != nil {
		return material{}, apierror.Wrap(err, apierror.KindBadRequest, "cannot read authorities "+f.CA, remedy)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return material{}, apierror.New(apierror.KindBadRequest, f.CA+" holds no certificate", remedy)
	}
	return material{certificate: certificate, authorities: pool}, nil
}

// current returns the newest usable content of the files.
func (r *Reloader) current(now time.Time) material {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.checkedAt) < CheckInterval {
		return r.loaded
	}
	r.checkedAt = now
	stamps := r.files.stamps()
	if stamps == r.stamps {
		return r.loaded
	}
	r.stamps = stamps
	r.reload()
	return r.loaded
}

// reload replaces the content if the new files can be used. The caller holds the lock.
func (r *Reloader) reload() {
	loaded, err := r.files.read()
	if err != nil {
		r.failures.Inc(1)
		r.logger.Error("new TLS files cannot be used, the old ones stay in force", "error", err)
		return
	}
	r.loaded = loaded
	r.reloads.Inc(1)
	r.logger.Info("TLS files reloaded", "cert", r.files.Cert)
}

// Server returns the configuration of a listener. With Files.CA set, clients must show a certificate
// that is signed by it.
func (r *Reloader) Server(protocols ...string) *tls.Config {
	config := r.server(protocols)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return r.server(protocols), nil
	}
	return config
}

func (r *Reloader) server(protocols []string) *tls.Config {
	now := r.current(time.Now())
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{now.certificate},
		NextProtos:   protocols,
	}
	if now.authorities != nil {
		config.MinVersion = tls.VersionTLS13
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = now.authorities
	}
	return config
}

// Client returns the configuration for one dial to the host, whose certificate must name it and be
// signed by Files.CA. Build a new one for each dial, so that changed files count.
func (r *Reloader) Client(host string) *tls.Config {
	now := r.current(time.Now())
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{now.certificate},
		RootCAs:      now.authorities,
		ServerName:   host,
	}
}
