// Package tlstest issues certificates for tests.
package tlstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/tlsconfig"
)

// Authority is a certificate authority that issues certificates for 127.0.0.1.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
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

// NewAuthority returns an authority with a new key.
func NewAuthority(t testing.TB) Authority {
	key, certificate := newKey(t), template(1)
	certificate.IsCA, certificate.BasicConstraintsValid = true, true
	return Authority{certificate: certificate, key: key}
}

// NewFiles issues a certificate with the serial number and writes its files to a temporary directory of the test.
func (a Authority) NewFiles(t testing.TB, serial int64) tlsconfig.Files {
	dir := t.TempDir()
	files := tlsconfig.Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	a.Write(t, files, serial)
	return files
}

// Write issues a new certificate with the serial number and overwrites the files.
func (a Authority) Write(t testing.TB, files tlsconfig.Files, serial int64) {
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
