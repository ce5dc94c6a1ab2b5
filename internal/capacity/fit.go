// Package capacity measures what the roles of a deployment cost: bytes, messages, processor time, memory and calls
// to the platform, as slopes over agents, tasks, jobs, entries and configuration. It holds agents in numbers in its
// own process; the entries and the platform's stand-in are processes that scripts/capacity starts on its request.
package capacity

import "math"

// Fit is a straight line through measured points, by least squares.
type Fit struct {
	Slope, Intercept float64
	// SlopeError is the standard error of the slope.
	SlopeError float64
	// R2 is the share of the variance that the line explains.
	R2 float64
	N  int
}

// FitLine fits y over x. Fewer than three points leave no degree of freedom for the error, which is then NaN.
func FitLine(x, y []float64) Fit {
	n := float64(len(x))
	var mx, my float64
	for i := range x {
		mx += x[i] / n
		my += y[i] / n
	}
	var sxx, sxy, syy float64
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
		syy += (y[i] - my) * (y[i] - my)
	}
	f := Fit{N: len(x), SlopeError: math.NaN()}
	if sxx == 0 {
		f.Slope, f.Intercept, f.R2 = math.NaN(), my, math.NaN()
		return f
	}
	f.Slope = sxy / sxx
	f.Intercept = my - f.Slope*mx
	residual := max(0, syy-f.Slope*sxy)
	f.R2 = 1
	if syy > 0 {
		f.R2 = 1 - residual/syy
	}
	if len(x) > 2 {
		f.SlopeError = math.Sqrt(residual / (n - 2) / sxx)
	}
	return f
}
