package metrics

import (
	"net/http"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

const prefix = "dotterelflow_"

var quantiles = []float64{0.5, 0.95, 0.99}

// Handler returns a handler that serves the counters, gauges and timers of registry in the Prometheus text format.
// Their names are converted from kebab case to snake case and get a prefix.
func Handler(registry metrics.Registry) http.Handler {
	format := expfmt.NewFormat(expfmt.TypeTextPlain)

	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", string(format))
		enc := expfmt.NewEncoder(w, format)

		registry.Each(func(name string, metric any) {
			if family := familyOf(name, metric); family != nil {
				_ = enc.Encode(family) // fails only if the scraper has closed the connection
			}
		})
	})
}

// familyOf returns metric as a Prometheus metric family, or nil for a type that is not exposed.
func familyOf(name string, metric any) *dto.MetricFamily {
	family := &dto.MetricFamily{Name: proto.String(prefix + strings.ReplaceAll(name, "-", "_"))}

	switch m := metric.(type) {
	case metrics.Counter:
		family.Type = dto.MetricType_COUNTER.Enum()
		family.Metric = []*dto.Metric{{Counter: &dto.Counter{Value: proto.Float64(float64(m.Count()))}}}
	case metrics.Gauge:
		family.Type = dto.MetricType_GAUGE.Enum()
		family.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: proto.Float64(float64(m.Value()))}}}
	case metrics.Timer:
		family.Type = dto.MetricType_SUMMARY.Enum()
		family.Metric = []*dto.Metric{{Summary: summaryOf(m.Snapshot())}}
	default:
		return nil
	}

	return family
}

// summaryOf returns a timer as a summary in seconds.
func summaryOf(t metrics.Timer) *dto.Summary {
	const nanosecond = 1e-9

	s := &dto.Summary{SampleCount: proto.Uint64(uint64(t.Count())), SampleSum: proto.Float64(float64(t.Sum()) * nanosecond)}

	for i, value := range t.Percentiles(quantiles) {
		s.Quantile = append(s.Quantile, &dto.Quantile{
			Quantile: proto.Float64(quantiles[i]), Value: proto.Float64(value * nanosecond),
		})
	}

	return s
}
