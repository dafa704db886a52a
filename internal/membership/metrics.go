package membership

import gometrics "github.com/rcrowley/go-metrics"

// pollerMetrics counts what a Poller does.
type pollerMetrics struct {
	probes       gometrics.Counter
	listReads    gometrics.Counter
	listFailures gometrics.Counter
	watched      gometrics.Gauge
}

func newPollerMetrics() *pollerMetrics {
	return &pollerMetrics{
		probes:       gometrics.GetOrRegisterCounter("membership.probes", nil),
		listReads:    gometrics.GetOrRegisterCounter("membership.list_reads", nil),
		listFailures: gometrics.GetOrRegisterCounter("membership.list_failures", nil),
		watched:      gometrics.GetOrRegisterGauge("membership.watched_targets", nil),
	}
}
