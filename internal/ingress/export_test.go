package ingress

// HeadCost returns what is charged for the head of a request.
func HeadCost(head []byte) int64 {
	var s scanner
	s.scan(head)
	return headCost(s.lines, s.bytes())
}
