// Package netconn finds the TCP connection under connections that wrap it.
package netconn

import "net"

// TCP returns the TCP connection under conn, or nil if there is none. It follows NetConn, as tls.Conn has it.
func TCP(conn net.Conn) *net.TCPConn {
	for conn != nil {
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			return tcp
		}
		wrapper, isWrapper := conn.(interface{ NetConn() net.Conn })
		if !isWrapper {
			return nil
		}
		conn = wrapper.NetConn()
	}
	return nil
}
