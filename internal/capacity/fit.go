package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
)

const (
	maxFlatSpread  = 0.1 // largest difference of flat values, as a fraction of the mean
	maxFitResidual = 0.1 // largest residual of a line or of n log n, likewise
	minimumSizes   = 3

	// nLogNAdvantage is the factor by which the residual of n log n has to be smaller than that of a line. Over a
	// narrow range the two are so close that noise would decide between them.
	nLogNAdvantage = 4
)

// Fit sorts the points by size and computes the record's form, value, base and residual from them. Its errors wrap
// ErrTooFewSizes, or ErrBadPoint for a repeated size, a size that is not positive or a value that is not finite.
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
	case spread/scale <= maxFlatSpread:
		r.setFit(Flat, fit{slope: mean, residual: r.standardDeviation(mean)}, scale)
	case logarithmic.residual/scale <= maxFitResidual && logarithmic.residual < line.residual/nLogNAdvantage:
		r.setFit(NLogN, logarithmic, scale)
	case line.residual/scale <= maxFitResidual:
		r.setFit(Line, line, scale)
	default:
		residual := strconv.FormatFloat(line.residual/scale, 'f', 2, 64)
		largest := r.Points[len(r.Points)-1].Measured
		form := notLinePrefix + Form("a line leaves "+residual+" of the mean")
		r.setFit(form, fit{slope: largest, residual: line.residual}, scale)
	}
	return nil
}

// checkPoints checks the points, which must be sorted by size.
func (r *Record) checkPoints() error {
	if len(r.Points) < minimumSizes {
		return fmt.Errorf("%s: %d sizes, a fit needs at least %d: %w",
			r.Name, len(r.Points), minimumSizes, ErrTooFewSizes)
	}
	for i, point := range r.Points {
		finite := !math.IsNaN(point.Measured) && !math.IsInf(point.Measured, 0)
		repeated := i > 0 && point.Size == r.Points[i-1].Size
		if !finite || !(point.Size > 0) || repeated {
			return fmt.Errorf("%s: size %v with value %v: %w", r.Name, point.Size, point.Measured, ErrBadPoint)
		}
	}
	return nil
}

// meanAndSpread returns the mean of the values, and the difference between the largest and the smallest.
func (r *Record) meanAndSpread() (mean, spread float64) {
	smallest, largest := math.Inf(1), math.Inf(-1)
	for _, point := range r.Points {
		mean += point.Measured / float64(len(r.Points))
		smallest = min(smallest, point.Measured)
		largest = max(largest, point.Measured)
	}
	return mean, largest - smallest
}

// standardDeviation returns the root mean square difference of the values from the mean.
func (r *Record) standardDeviation(mean float64) float64 {
	sum := 0.0
	for _, point := range r.Points {
		sum += (point.Measured - mean) * (point.Measured - mean)
	}
	return math.Sqrt(sum / float64(len(r.Points)))
}

// setFit sets form, value, base and residual. They are rounded so that fitting the record again gives the same numbers
// on any machine.
func (r *Record) setFit(form Form, f fit, scale float64) {
	r.Form = form
	r.Value = roundToSixDigits(f.slope)
	r.Base = roundToSixDigits(f.base)
	r.Residual = roundToSixDigits(f.residual / scale)
}

// fit is a fitted function: measured = base + slope * transform(size).
type fit struct {
	slope, base float64
	residual    float64 // root mean square difference
}

func identity(n float64) float64 { return n }

func nLogN(n float64) float64 { return n * math.Log2(n) }

// leastSquares fits a linear function of transform(size) to the points by the method of least squares.
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

// roundToSixDigits rounds to six significant digits.
func roundToSixDigits(value float64) float64 {
	text := strconv.FormatFloat(value, 'g', 6, 64)
	rounded, _ := strconv.ParseFloat(text, 64) // the output of FormatFloat can always be parsed
	return rounded
}
