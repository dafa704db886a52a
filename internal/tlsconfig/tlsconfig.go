// Package tlsconfig builds TLS configurations for listeners and for connections to peers, from files that may change
// while the process runs.
//
// Handshakes check the files for changes, at most once per CheckInterval. If changed files are invalid, the
// previous certificates stay in use and the failure is counted and logged.
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

// CheckInterval is the minimum time between two checks of the files.
const CheckInterval = time.Second

// Files are the paths of PEM files.
type Files struct {
	// Cert is the certificate chain and Key its private key.
	Cert, Key string
	// CA holds the certificate authorities that must have signed the peer's certificate; empty for listeners that
	// accept clients without a certificate.
	CA string
}

// Reloader holds the latest valid content of Files. It is safe for concurrent use.
type Reloader struct {
	files    Files
	logger   *log.Logger
	reloads  gometrics.Counter
	failures gometrics.Counter

	mu          sync.Mutex
	checkedAt   time.Time
	versions    [3]fileVersion
	credentials credentials
}

// fileVersion identifies a version of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// credentials is the parsed content of the files.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// New reads the files. It returns an error if they are missing or invalid.
func New(files Files, logger *log.Logger) (*Reloader, error) {
	r := &Reloader{
		files:    files,
		logger:   logger,
		reloads:  gometrics.GetOrRegisterCounter("tls.reloads", nil),
		failures: gometrics.GetOrRegisterCounter("tls.reload_failures", nil),
	}
	r.versions = files.versions()
	r.checkedAt = time.Now()
	loaded, err := files.read()
	if err != nil {
		return nil, err
	}
	r.credentials = loaded
	return r, nil
}

// versions returns the version of each file, which is zero for a file that is missing or inaccessible.
func (f Files) versions() (versions [3]fileVersion) {
	for i, path := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(path); err == nil {
			versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return versions
}

func (f Files) read() (credentials, error) {
	const remedy = "write a PEM certificate chain, its key and, for peers, the authorities"
	certificate, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return credentials{}, apierror.Wrap(err, apierror.KindBadRequest, "cannot use certificate "+f.Cert+" with key "+f.Key, remedy)
	}
	if f.CA == "" {
		return credentials{certificate: certificate}, nil
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return credentials{}, apierror.Wrap(err, apierror.KindBadRequest, "cannot read authorities "+f.CA, remedy)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return credentials{}, apierror.New(apierror.KindBadRequest, f.CA+" holds no certificate", remedy)
	}
	return credentials{certificate: certificate, authorities: pool}, nil
}

// latest returns the latest valid content of the files, after reloading them if they changed.
func (r *Reloader) latest(now time.Time) credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.checkedAt) < CheckInterval {
		return r.credentials
	}
	r.checkedAt = now
	versions := r.files.versions()
	if versions == r.versions {
		return r.credentials
	}
	r.versions = versions
	r.reload()
	return r.credentials
}

// reload replaces the credentials if the changed files are valid. The caller holds mu.
func (r *Reloader) reload() {
	loaded, err := r.files.read()
	if err != nil {
		r.failures.Inc(1)
		r.logger.Error("changed TLS files cannot be used; the previous certificates stay in use", "error", err)
		return
	}
	r.credentials = loaded
	r.reloads.Inc(1)
	r.logger.Info("TLS files reloaded", "cert", r.files.Cert)
}

// ServerConfig returns the configuration of a listener. If Files.CA is set, clients must present a certificate signed
// by one of its authorities.
func (r *Reloader) ServerConfig(protocols ...string) *tls.Config {
	config := r.buildServerConfig(protocols)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return r.buildServerConfig(protocols), nil
	}
	return config
}

func (r *Reloader) buildServerConfig(protocols []string) *tls.Config {
	credentials := r.latest(time.Now())
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{credentials.certificate},
		NextProtos:   protocols,
	}
	if credentials.authorities != nil {
		config.MinVersion = tls.VersionTLS13
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = credentials.authorities
	}
	return config
}

// ClientConfig returns the configuration for one connection to host. The server's certificate must be valid for host
// and signed by an authority of Files.CA. Get a new configuration for each connection, so that changed files
// take effect.
func (r *Reloader) ClientConfig(host string) *tls.Config {
	credentials := r.latest(time.Now())
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{credentials.certificate},
		RootCAs:      credentials.authorities,
		ServerName:   host,
	}
}
