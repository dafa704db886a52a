package tlsconfig_test

import (
	"crypto/tls"
	"io"
	"os"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/tlsconfig"
	"godwitcart/internal/tlsconfig/tlstest"
)

func newReloader(t *testing.T, a tlstest.Authority, serial int64) (*tlsconfig.Reloader, tlsconfig.Files) {
	files := a.NewFiles(t, serial)
	r, err := tlsconfig.New(files, log.New(io.Discard))
	require.NoError(t, err)
	return r, files
}

// handshake connects client to server and returns the serial number of the server's certificate.
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

func TestChangedFilesAreReloadedUnlessInvalid(t *testing.T) {
	a := tlstest.NewAuthority(t)
	server, files := newReloader(t, a, 10)
	client, _ := newReloader(t, a, 20)
	config := server.ServerConfig()
	serial, err := handshake(t, config, client.ClientConfig("127.0.0.1"))
	require.NoError(t, err)
	require.EqualValues(t, 10, serial)

	a.Write(t, files, 1<<40)
	server.ExpireCheck()
	serial, err = handshake(t, config, client.ClientConfig("127.0.0.1"))
	require.NoError(t, err)
	require.EqualValues(t, 1<<40, serial)

	failures := server.Failures()
	require.NoError(t, os.WriteFile(files.Key, []byte("torn"), 0o600))
	server.ExpireCheck()
	serial, err = handshake(t, config, client.ClientConfig("127.0.0.1"))
	require.NoError(t, err)
	require.EqualValues(t, 1<<40, serial)
	require.Equal(t, failures+1, server.Failures())
}

func TestBothSidesVerifyThePeerCertificate(t *testing.T) {
	authority, otherAuthority := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	server, _ := newReloader(t, authority, 10)
	untrusted, _ := newReloader(t, otherAuthority, 20)
	trusted, _ := newReloader(t, authority, 30)
	_, err := handshake(t, server.ServerConfig(), untrusted.ClientConfig("127.0.0.1"))
	require.Error(t, err, "the client must refuse a server signed by another authority")
	unverifyingClient := untrusted.ClientConfig("127.0.0.1")
	unverifyingClient.InsecureSkipVerify = true
	_, err = handshake(t, server.ServerConfig(), unverifyingClient)
	require.Error(t, err, "the server must refuse a client signed by another authority")
	_, err = handshake(t, server.ServerConfig(), &tls.Config{InsecureSkipVerify: true})
	require.Error(t, err, "the server must refuse a client without certificate")
	_, err = handshake(t, server.ServerConfig(), trusted.ClientConfig("127.0.0.2"))
	require.Error(t, err, "the certificate must name the host")
}

func TestNewFailsForMissingFiles(t *testing.T) {
	_, err := tlsconfig.New(tlsconfig.Files{Cert: "none", Key: "none"}, log.New(io.Discard))
	require.ErrorContains(t, err, "cannot use certificate none")
}
