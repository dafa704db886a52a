// Package crowd holds tests in which many clients that do not behave meet one process of godwitcartd. scripts/crowd runs
// them, one at a time and apart from other load; they have the build tag "crowd".
//
// Each test starts the real process on loopback, with the memory of the smallest VM of a deployment or with few descriptors,
// lets a crowd of raw clients send and stay, and requires that the process lives, that its resident memory and the bytes that
// the kernel holds for it unread stay within the memory of its VM, that its open descriptors stay within their limit, and that
// an ordinary request is answered, both while the crowd stays and after it has left. Nothing is asserted on time.
package crowd
