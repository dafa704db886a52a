package admin

import (
	"net/http"
	"regexp"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
)

// metricPrefix is prepended to the name of every exported metric.
const metricPrefix = "godwitcart_"

// quantiles are the quantiles exported for each histogram and timer.
var quantiles = []float64{0.5, 0.95, 0.99, 0.999}

var invalidNameChars = regexp.MustCompile(`[^a-zA-Z0-9_]`)

// collector exports a go-metrics registry. It is an unchecked collector (Describe sends nothing) because
// metrics are registered and unregistered at run time.
type collector struct{ registry metrics.Registry }

// Describe implements prometheus.Collector.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.registry.Each(func(name string, metric any) {
		if exported, err := toPrometheus(metricPrefix+invalidNameChars.ReplaceAllString(name, "_"), metric); err == nil && exported != nil {
			out <- exported
		}
	})
}

// toPrometheus converts a go-metrics metric; unknown types yield nil. Timers are converted from nanoseconds to
// seconds.
func toPrometheus(name string, metric any) (prometheus.Metric, error) {
	switch typed := metric.(type) {
	case metrics.Counter:
		return constMetric(name+"_total", prometheus.CounterValue, float64(typed.Count()))
	case metrics.Gauge:
		return constMetric(name, prometheus.GaugeValue, float64(typed.Value()))
	case metrics.GaugeFloat64:
		return constMetric(name, prometheus.GaugeValue, typed.Value())
	case metrics.Meter:
		return constMetric(name+"_total", prometheus.CounterValue, float64(typed.Count()))
	case metrics.Histogram:
		snapshot := typed.Snapshot()
		return constSummary(name, snapshot.Count(), float64(snapshot.Sum()), snapshot.Percentiles(quantiles))
	case metrics.Timer:
		snapshot := typed.Snapshot()
		percentiles := snapshot.Percentiles(quantiles)
		for i := range percentiles {
			percentiles[i] /= 1e9
		}
		return constSummary(name+"_seconds", snapshot.Count(), float64(snapshot.Sum())/1e9, percentiles)
	default:
		return nil, nil
	}
}

func constMetric(name string, valueType prometheus.ValueType, value float64) (prometheus.Metric, error) {
	return prometheus.NewConstMetric(prometheus.NewDesc(name, name, nil, nil), valueType, value)
}

func constSummary(name string, count int64, sum float64, percentiles []float64) (prometheus.Metric, error) {
	values := make(map[float64]float64, len(quantiles))
	for i, quantile := range quantiles {
		values[quantile] = percentiles[i]
	}
	return prometheus.NewConstSummary(prometheus.NewDesc(name, name, nil, nil), uint64(count), sum, values)
}

// NewMetricsHandler returns a handler that serves the metrics of the registry and of the Go runtime.
func NewMetricsHandler(registry metrics.Registry) http.Handler {
	gatherer := prometheus.NewRegistry()
	gatherer.MustRegister(collector{registry: registry}, collectors.NewGoCollector())
	return promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{ErrorHandling: promhttp.ContinueOnError})
}

func (h *Handler) serveMetrics(w http.ResponseWriter, r *http.Request, _ Token) {
	h.metrics.ServeHTTP(w, r)
}
