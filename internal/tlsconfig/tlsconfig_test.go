package tlsconfig

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	return key
}

func template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "godwitcart test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func newAuthority(t *testing.T) authority {
	key, certificate := newKey(t), template(1)
	certificate.IsCA, certificate.BasicConstraintsValid = true, true
	return authority{certificate: certificate, key: key}
}

// write signs a certificate with the serial number and writes all files.
func (a authority) write(t *testing.T, files Files, serial int64) {
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template(serial), a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	root, err := x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, &a.key.PublicKey, a.key)
	require.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	for path, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: der},
		files.Key:  {Type: "PRIVATE KEY", Bytes: private},
		files.CA:   {Type: "CERTIFICATE", Bytes: root},
	} {
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
	}
}

func newReloader(t *testing.T, a authority, serial int64) *Reloader {
	dir := t.TempDir()
	files := Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	a.write(t, files, serial)
	r, err := New(files, log.New(io.Discard))
	require.NoError(t, err)
	return r
}

// handshake connects client to server and returns the serial number that the client saw.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	defer listener.Close()
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			conn.Close()
		}
		served <- err
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		<-served
		return 0, err
	}
	defer conn.Close()
	if err := <-served; err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// expireCheck lets the next handshake look at the files again.
func expireCheck(r *Reloader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkedAt = time.Time{}
}

func TestFilesAreReloadedAndBadOnesAreNot(t *testing.T) {
	a := newAuthority(t)
	server, client := newReloader(t, a, 10), newReloader(t, a, 20)
	config := server.Server()
	serial, err := handshake(t, config, client.Client("127.0.0.1"))
	require.NoError(t, err)
	require.EqualValues(t, 10, serial)

	a.write(t, server.files, 1<<40)
	expireCheck(server)
	serial, err = handshake(t, config, client.Client("127.0.0.1"))
	require.NoError(t, err)
	require.EqualValues(t, 1<<40, serial)

	failures := server.failures.Count()
	require.NoError(t, os.WriteFile(server.files.Key, []byte("torn"), 0o600))
	expireCheck(server)
	serial, err = handshake(t, config, client.Client("127.0.0.1"))
	require.NoError(t, err)
	require.EqualValues(t, 1<<40, serial)
	require.Equal(t, failures+1, server.failures.Count())
}

func TestBothSidesMustBeSignedByTheAuthority(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server, stranger := newReloader(t, ours, 10), newReloader(t, theirs, 20)
	_, err := handshake(t, server.Server(), stranger.Client("127.0.0.1"))
	require.Error(t, err, "the client must refuse a stranger")
	trusting := stranger.Client("127.0.0.1")
	trusting.InsecureSkipVerify = true
	_, err = handshake(t, server.Server(), trusting)
	require.Error(t, err, "the server must refuse a stranger")
	_, err = handshake(t, server.Server(), &tls.Config{InsecureSkipVerify: true})
	require.Error(t, err, "the server must refuse a client without certificate")
	_, err = handshake(t, server.Server(), newReloader(t, ours, 30).Client("127.0.0.2"))
	require.Error(t, err, "the certificate must name the host")
}

func TestMissingFilesAreRefusedAtStart(t *testing.T) {
	_, err := New(Files{Cert: "none", Key: "none"}, log.New(io.Discard))
	require.ErrorContains(t, err, "cannot use certificate none")
}
