package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
)

// Point is one measured value: Y of a role at X of what the part varies.
type Point struct {
	Part    string  `json:"part"`
	Over    string  `json:"over"`
	X       float64 `json:"x"`
	Role    string  `json:"role"`
	Measure string  `json:"measure"`
	Y       float64 `json:"y"`
	// Event values are printed as they are, without a fit.
	Event bool `json:"event,omitempty"`
}

type recorder struct{ w *json.Encoder }

func newRecorder(w io.Writer) *recorder { return &recorder{json.NewEncoder(w)} }

func (r *recorder) add(p Point) error { return r.w.Encode(p) }

type seriesKey struct{ part, over, role, measure string }

// WriteReport prints the slopes and the events of result files as tables.
func WriteReport(out io.Writer, files ...string) error {
	var order []seriesKey
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
				order = append(order, k)
			}
			series[k] = append(series[k], p)
		}
	}
	fmt.Fprintln(out, "| part | over | role | measure | intercept | slope | error | R2 | points x:y |\n|---|---|---|---|---|---|---|---|---|")
	for _, k := range order {
		printSeries(out, k, series[k])
	}
	fmt.Fprintln(out, "\n| part | event | role | measure | value |\n|---|---|---|---|---|")
	for _, p := range events {
		fmt.Fprintf(out, "| %s | %s | %s | %s | %s |\n", p.Part, p.Over, p.Role, p.Measure, number(p.Y))
	}
	return nil
}

// minPoints is the number of points from which a line is fitted.
const minPoints = 3

func printSeries(out io.Writer, k seriesKey, points []Point) {
	var x, y []float64
	list := ""
	zero := true
	for _, p := range points {
		zero = zero && p.Y == 0
		x, y = append(x, p.X), append(y, p.Y)
		list += fmt.Sprintf(" %s:%s", number(p.X), number(p.Y))
	}
	if zero {
		return
	}
	if len(points) < minPoints {
		fmt.Fprintf(out, "| %s | %s | %s | %s | | | | |%s |\n", k.part, k.over, k.role, k.measure, list)
		return
	}
	f := FitLine(x, y)
	fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %s | %s | %.3f |%s |\n", k.part, k.over, k.role, k.measure,
		number(f.Intercept), number(f.Slope), number(f.SlopeError), f.R2, list)
}

// number prints four significant digits.
func number(v float64) string {
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
