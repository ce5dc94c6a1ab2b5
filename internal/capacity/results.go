package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
)

// Point is one measured value, as a line of a result file holds it: the measure of a role has the value Y when the
// variable named by Over has the value X. For an event, Over names the event and X is zero.
type Point struct {
	Part    string  `json:"part"`
	Over    string  `json:"over"`
	X       float64 `json:"x"`
	Role    string  `json:"role"`
	Measure string  `json:"measure"`
	Y       float64 `json:"y"`
	// Event marks values that the report prints without a fit.
	Event bool `json:"event,omitempty"`
}

// pointWriter writes points as lines of JSON.
type pointWriter struct{ encoder *json.Encoder }

func newPointWriter(out io.Writer) *pointWriter { return &pointWriter{json.NewEncoder(out)} }

func (w *pointWriter) write(p Point) error { return w.encoder.Encode(p) }

// seriesKey identifies a series: the points that one line is fitted through.
type seriesKey struct{ part, over, role, measure string }

// WriteReport writes the contents of result files as two Markdown tables: the fitted line of each series and the values
// of the events.
func WriteReport(out io.Writer, files ...string) error {
	var keys []seriesKey
	series := make(map[seriesKey][]Point)
	var events []Point
	for _, name := range files {
		points, err := readPoints(name)
		if err != nil {
			return err
		}
		for _, p := range points {
			if p.Event {
				events = append(events, p)
				continue
			}
			k := seriesKey{p.Part, p.Over, p.Role, p.Measure}
			if series[k] == nil {
				keys = append(keys, k)
			}
			series[k] = append(series[k], p)
		}
	}
	fmt.Fprintln(out, "| part | over | role | measure | intercept | slope | error | R2 | points x:y |\n|---|---|---|---|---|---|---|---|---|")
	for _, k := range keys {
		writeSeries(out, k, series[k])
	}
	fmt.Fprintln(out, "\n| part | event | role | measure | value |\n|---|---|---|---|---|")
	for _, p := range events {
		fmt.Fprintf(out, "| %s | %s | %s | %s | %s |\n", p.Part, p.Over, p.Role, p.Measure, formatNumber(p.Y))
	}
	return nil
}

// minFitPoints is the smallest number of points that a line is fitted through.
const minFitPoints = 3

// writeSeries writes one row of the report. It omits a series of zeros, and the fit of a series with too few points.
func writeSeries(out io.Writer, key seriesKey, points []Point) {
	var x, y []float64
	pairs := ""
	allZero := true
	for _, p := range points {
		allZero = allZero && p.Y == 0
		x, y = append(x, p.X), append(y, p.Y)
		pairs += fmt.Sprintf(" %s:%s", formatNumber(p.X), formatNumber(p.Y))
	}
	if allZero {
		return
	}
	if len(points) < minFitPoints {
		fmt.Fprintf(out, "| %s | %s | %s | %s | | | | |%s |\n", key.part, key.over, key.role, key.measure, pairs)
		return
	}
	f := FitLine(x, y)
	fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %s | %s | %.3f |%s |\n", key.part, key.over, key.role, key.measure,
		formatNumber(f.Intercept), formatNumber(f.Slope), formatNumber(f.SlopeError), f.R2, pairs)
}

// formatNumber formats a number with four significant digits, and from 1000 on as an integer.
func formatNumber(v float64) string {
	if math.Abs(v) >= 1000 && !math.IsInf(v, 0) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}

func readPoints(name string) ([]Point, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []Point
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var p Point
		if err := json.Unmarshal(lines.Bytes(), &p); err != nil {
			return nil, fmt.Errorf("capacity: %s: %w", name, err)
		}
		out = append(out, p)
	}
	return out, lines.Err()
}
