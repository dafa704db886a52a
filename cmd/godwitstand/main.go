// Command godwitstand is not yet wired.
package main

import _ "net"

func main() {}
