package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
)

const (
	flatWithin   = 0.1 // values that differ by at most this part of the mean are flat
	formWithin   = 0.1 // the largest residual of a form
	minimumSizes = 3

	// nLogNAdvantage is how many times smaller than a line's the residual of n log n has to be: over a narrow range
	// the two differ little by chance.
	nLogNAdvantage = 4
)

// Fit finds a record's form, value, base and residual from its points, and sorts these by size. It returns
// ErrTooFewSizes, or ErrBadPoint for a size that comes twice or is not above 0, and for a value that is not finite.
func (r *Record) Fit() error {
	slices.SortFunc(r.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	if err := r.checkPoints(); err != nil {
		return err
	}
	mean, spread := r.meanAndSpread()
	scale := math.Abs(mean)
	if scale == 0 {
		scale = 1
	}
	line := leastSquares(r.Points, identity)
	logarithmic := leastSquares(r.Points, nLogN)
	switch {
	case spread/scale <= flatWithin:
		r.setFit(Flat, fit{slope: mean, residual: r.deviation(mean)}, scale)
	case logarithmic.residual/scale <= formWithin && logarithmic.residual < line.residual/nLogNAdvantage:
		r.setFit(NLogN, logarithmic, scale)
	case line.residual/scale <= formWithin:
		r.setFit(Line, line, scale)
	default:
		residual := strconv.FormatFloat(line.residual/scale, 'f', 2, 64)
		largest := r.Points[len(r.Points)-1].Measured
		form := notLinePrefix + Form("a line leaves "+residual+" of the mean")
		r.setFit(form, fit{slope: largest, residual: line.residual}, scale)
	}
	return nil
}

// checkPoints checks the points, which are sorted by size.
func (r *Record) checkPoints() error {
	if len(r.Points) < minimumSizes {
		return fmt.Errorf("%s: %d sizes, and a slope takes %d at least: %w",
			r.Name, len(r.Points), minimumSizes, ErrTooFewSizes)
	}
	for i, point := range r.Points {
		finite := !math.IsNaN(point.Measured) && !math.IsInf(point.Measured, 0)
		repeated := i > 0 && point.Size == r.Points[i-1].Size
		if !finite || !(point.Size > 0) || repeated {
			return fmt.Errorf("%s: size %v with %v: %w", r.Name, point.Size, point.Measured, ErrBadPoint)
		}
	}
	return nil
}

// meanAndSpread returns the mean of the values and the difference of the largest and the smallest.
func (r *Record) meanAndSpread() (mean, spread float64) {
	smallest, largest := math.Inf(1), math.Inf(-1)
	for _, point := range r.Points {
		mean += point.Measured / float64(len(r.Points))
		smallest = min(smallest, point.Measured)
		largest = max(largest, point.Measured)
	}
	return mean, largest - smallest
}

// deviation returns the root of the mean squared difference of the values from their mean.
func (r *Record) deviation(mean float64) float64 {
	sum := 0.0
	for _, point := range r.Points {
		sum += (point.Measured - mean) * (point.Measured - mean)
	}
	return math.Sqrt(sum / float64(len(r.Points)))
}

// setFit sets form, value, base and residual, rounded so that a record reads the same wherever it is fitted again.
func (r *Record) setFit(form Form, f fit, scale float64) {
	r.Form = form
	r.Value = sixDigits(f.slope)
	r.Base = sixDigits(f.base)
	r.Residual = sixDigits(f.residual / scale)
}

// fit is measured = base + slope * f(size).
type fit struct {
	slope, base float64
	residual    float64 // root of the mean squared difference
}

func identity(n float64) float64 { return n }

func nLogN(n float64) float64 { return n * math.Log2(n) }

// leastSquares fits points to a linear function of f(size).
func leastSquares(points []Point, transform func(float64) float64) fit {
	count := float64(len(points))
	var meanX, meanY, sumXX, sumXY float64
	for _, point := range points {
		meanX += transform(point.Size) / count
		meanY += point.Measured / count
	}
	for _, point := range points {
		x := transform(point.Size) - meanX
		sumXX += x * x
		sumXY += x * (point.Measured - meanY)
	}
	var result fit
	if sumXX > 0 {
		result.slope = sumXY / sumXX
	}
	result.base = meanY - result.slope*meanX
	squares := 0.0
	for _, point := range points {
		difference := point.Measured - result.base - result.slope*transform(point.Size)
		squares += difference * difference / count
	}
	result.residual = math.Sqrt(squares)
	return result
}

// sixDigits rounds to six significant digits.
func sixDigits(value float64) float64 {
	text := strconv.FormatFloat(value, 'g', 6, 64)
	rounded, _ := strconv.ParseFloat(text, 64) // what FormatFloat writes can be parsed
	return rounded
}
