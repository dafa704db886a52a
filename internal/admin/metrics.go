package admin

import (
	"net/http"
	"regexp"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
)

// metricPrefix begins the name of every exported metric.
const metricPrefix = "godwitcart_"

// quantiles are exported of each histogram and timer.
var quantiles = []float64{0.5, 0.95, 0.99, 0.999}

var notInName = regexp.MustCompile(`[^a-zA-Z0-9_]`)

// collector exports a go-metrics registry. It is unchecked, as metrics come and go.
type collector struct{ registry metrics.Registry }

// Describe implements prometheus.Collector.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.registry.Each(func(name string, metric any) {
		if exported, err := export(metricPrefix+notInName.ReplaceAllString(name, "_"), metric); err == nil && exported != nil {
			out <- exported
		}
	})
}

// export returns the metric in Prometheus' form. Times are in seconds.
func export(name string, metric any) (prometheus.Metric, error) {
	switch held := metric.(type) {
	case metrics.Counter:
		return simple(name+"_total", prometheus.CounterValue, float64(held.Count()))
	case metrics.Gauge:
		return simple(name, prometheus.GaugeValue, float64(held.Value()))
	case metrics.GaugeFloat64:
		return simple(name, prometheus.GaugeValue, held.Value())
	case metrics.Meter:
		return simple(name+"_total", prometheus.CounterValue, float64(held.Count()))
	case metrics.Histogram:
		snapshot := held.Snapshot()
		return summary(name, snapshot.Count(), float64(snapshot.Sum()), snapshot.Percentiles(quantiles))
	case metrics.Timer:
		snapshot := held.Snapshot()
		percentiles := snapshot.Percentiles(quantiles)
		for i := range percentiles {
			percentiles[i] /= 1e9
		}
		return summary(name+"_seconds", snapshot.Count(), float64(snapshot.Sum())/1e9, percentiles)
	default:
		return nil, nil
	}
}

func simple(name string, valueType prometheus.ValueType, value float64) (prometheus.Metric, error) {
	return prometheus.NewConstMetric(prometheus.NewDesc(name, name, nil, nil), valueType, value)
}

func summary(name string, count int64, sum float64, percentiles []float64) (prometheus.Metric, error) {
	values := make(map[float64]float64, len(quantiles))
	for i, quantile := range quantiles {
		values[quantile] = percentiles[i]
	}
	return prometheus.NewConstSummary(prometheus.NewDesc(name, name, nil, nil), uint64(count), sum, values)
}

// NewMetricsHandler serves the registry and the Go runtime's own metrics.
func NewMetricsHandler(registry metrics.Registry) http.Handler {
	gatherer := prometheus.NewRegistry()
	gatherer.MustRegister(collector{registry: registry}, collectors.NewGoCollector())
	return promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{ErrorHandling: promhttp.ContinueOnError})
}

func (h *Handler) serveMetrics(w http.ResponseWriter, r *http.Request, _ Token) {
	h.metrics.ServeHTTP(w, r)
}
