package capacity

import (
	"math"

	"github.com/go-faster/errors"
)

// Line is a line fitted to samples by least squares: Intercept plus the sum of the slopes times the predictors.
type Line struct {
	Intercept float64   `json:"intercept"`
	Slopes    []float64 `json:"slopes"`
	// InterceptError and SlopeErrors are the standard errors, 0 if there are no degrees of freedom.
	InterceptError float64   `json:"intercept_error"`
	SlopeErrors    []float64 `json:"slope_errors"`
	// Residual is the standard deviation of the samples around the line.
	Residual float64 `json:"residual"`
	Samples  int     `json:"samples"`
}

// At returns the line's value.
func (l Line) At(x []float64) float64 {
	y := l.Intercept
	for i, slope := range l.Slopes {
		y += slope * x[i]
	}
	return y
}

// FitLine fits samples y at predictors x, one row for each sample.
func FitLine(x [][]float64, y []float64) (Line, error) {
	if len(x) == 0 || len(x) != len(y) {
		return Line{}, errors.New("no samples")
	}
	n := len(x[0]) + 1
	if len(x) < n {
		return Line{}, errors.Errorf("%d samples for %d coefficients", len(x), n)
	}
	normal := make([][]float64, n)
	moment := make([]float64, n)
	for i := range normal {
		normal[i] = make([]float64, n)
	}
	for s := range x {
		row := append([]float64{1}, x[s]...)
		for i := range n {
			moment[i] += row[i] * y[s]
			for j := range n {
				normal[i][j] += row[i] * row[j]
			}
		}
	}
	inverse, err := invert(normal)
	if err != nil {
		return Line{}, err
	}
	c := make([]float64, n)
	for i := range n {
		for j := range n {
			c[i] += inverse[i][j] * moment[j]
		}
	}
	line := Line{Intercept: c[0], Slopes: c[1:], SlopeErrors: make([]float64, n-1), Samples: len(x)}
	line.setErrors(x, y, inverse)
	return line, nil
}

func (l *Line) setErrors(x [][]float64, y []float64, inverse [][]float64) {
	free := len(x) - len(inverse)
	if free <= 0 {
		return
	}
	sum := 0.0
	for s := range x {
		d := y[s] - l.At(x[s])
		sum += d * d
	}
	variance := sum / float64(free)
	l.Residual = math.Sqrt(variance)
	l.InterceptError = math.Sqrt(variance * inverse[0][0])
	for i := range l.SlopeErrors {
		l.SlopeErrors[i] = math.Sqrt(variance * inverse[i+1][i+1])
	}
}

// invert inverts a matrix by elimination with pivots. The matrix is scaled first, since predictors differ in size.
func invert(m [][]float64) ([][]float64, error) {
	n := len(m)
	scale := make([]float64, n)
	for i := range n {
		if m[i][i] <= 0 {
			return nil, errors.New("a predictor is 0 in all samples")
		}
		scale[i] = 1 / math.Sqrt(m[i][i])
	}
	a := make([][]float64, n)
	for i := range n {
		a[i] = make([]float64, 2*n)
		for j := range n {
			a[i][j] = m[i][j] * scale[i] * scale[j]
		}
		a[i][n+i] = 1
	}
	for i := range n {
		if err := eliminate(a, i); err != nil {
			return nil, err
		}
	}
	inverse := make([][]float64, n)
	for i := range n {
		inverse[i] = a[i][n:]
		for j := range n {
			inverse[i][j] *= scale[i] * scale[j]
		}
	}
	return inverse, nil
}

// minPivot is the smallest pivot of a scaled matrix; below it the predictors depend on each other.
const minPivot = 1e-9

func eliminate(a [][]float64, column int) error {
	pivot := column
	for i := column; i < len(a); i++ {
		if math.Abs(a[i][column]) > math.Abs(a[pivot][column]) {
			pivot = i
		}
	}
	if math.Abs(a[pivot][column]) < minPivot {
		return errors.New("the sizes do not vary enough to tell the predictors apart")
	}
	a[column], a[pivot] = a[pivot], a[column]
	value := a[column][column]
	for j := range a[column] {
		a[column][j] /= value
	}
	for i := range a {
		if i == column {
			continue
		}
		factor := a[i][column]
		for j := range a[i] {
			a[i][j] -= factor * a[column][j]
		}
	}
	return nil
}
