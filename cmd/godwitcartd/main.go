// Command godwitcartd is not yet wired.
package main

import _ "net"

func main() {}
