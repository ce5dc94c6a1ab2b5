// Package capacity measures the resource usage of each role in a deployment: bytes, messages, CPU time, memory and
// calls to the platform. Each part of the measurement varies one load at a time, such as the number of agents, tasks,
// jobs or entries or the size of the configuration, and the report fits each measure as a line over it. Most parts run
// their agents inside this process; the entries and the platform's stand-in are separate processes that
// scripts/capacity starts on request.
package capacity

import "math"

// Fit is a straight line fitted through measured points.
type Fit struct {
	Slope, Intercept float64
	// SlopeError is the standard error of the slope.
	SlopeError float64
	// R2 is the share of the variance that the line explains.
	R2 float64
	// N is the number of points.
	N int
}

// FitLine fits y over x by least squares. SlopeError is NaN for fewer than three points, which leave no degree of
// freedom for it. Slope and R2 are NaN if all x are equal.
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
	residualSquares := max(0, syy-f.Slope*sxy)
	f.R2 = 1
	if syy > 0 {
		f.R2 = 1 - residualSquares/syy
	}
	if len(x) > 2 {
		f.SlopeError = math.Sqrt(residualSquares / (n - 2) / sxx)
	}
	return f
}
