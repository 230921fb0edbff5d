package capacity

import (
	"math"

	"github.com/go-faster/errors"
)

// LinearModel is a linear regression model, fitted by ordinary least squares: Intercept plus the sum of the predictors
// times their slopes.
type LinearModel struct {
	Intercept float64   `json:"intercept"`
	Slopes    []float64 `json:"slopes"`
	// InterceptError and SlopeErrors are the standard errors, or 0 if there are as many coefficients as samples.
	InterceptError float64   `json:"intercept_error"`
	SlopeErrors    []float64 `json:"slope_errors"`
	// Residual is the residual standard error, or 0 if there are as many coefficients as samples.
	Residual float64 `json:"residual"`
	Samples  int     `json:"samples"`
}

// At returns the value of the model at the predictors x.
func (m LinearModel) At(x []float64) float64 {
	y := m.Intercept
	for i, slope := range m.Slopes {
		y += slope * x[i]
	}
	return y
}

// FitLinearModel fits a model to the samples y. Row i of x holds the predictors of sample y[i].
func FitLinearModel(x [][]float64, y []float64) (LinearModel, error) {
	if len(x) == 0 || len(x) != len(y) {
		return LinearModel{}, errors.New("there are no samples, or not one row of predictors per sample")
	}
	n := len(x[0]) + 1
	if len(x) < n {
		return LinearModel{}, errors.Errorf("%d samples are too few for %d coefficients", len(x), n)
	}
	// The coefficients solve the normal equations: normalMatrix is XᵀX and momentVector Xᵀy, where the first column of
	// X is 1 for the intercept.
	normalMatrix := make([][]float64, n)
	momentVector := make([]float64, n)
	for i := range normalMatrix {
		normalMatrix[i] = make([]float64, n)
	}
	for s := range x {
		row := append([]float64{1}, x[s]...)
		for i := range n {
			momentVector[i] += row[i] * y[s]
			for j := range n {
				normalMatrix[i][j] += row[i] * row[j]
			}
		}
	}
	inverse, err := invert(normalMatrix)
	if err != nil {
		return LinearModel{}, err
	}
	coefficients := make([]float64, n)
	for i := range n {
		for j := range n {
			coefficients[i] += inverse[i][j] * momentVector[j]
		}
	}
	model := LinearModel{Intercept: coefficients[0], Slopes: coefficients[1:], SlopeErrors: make([]float64, n-1), Samples: len(x)}
	model.setErrors(x, y, inverse)
	return model, nil
}

// setErrors sets the residual standard error and the standard errors of the coefficients. inverse is the inverse of the
// normal matrix.
func (m *LinearModel) setErrors(x [][]float64, y []float64, inverse [][]float64) {
	degreesOfFreedom := len(x) - len(inverse)
	if degreesOfFreedom <= 0 {
		return
	}
	squaredResiduals := 0.0
	for s := range x {
		residual := y[s] - m.At(x[s])
		squaredResiduals += residual * residual
	}
	variance := squaredResiduals / float64(degreesOfFreedom)
	m.Residual = math.Sqrt(variance)
	m.InterceptError = math.Sqrt(variance * inverse[0][0])
	for i := range m.SlopeErrors {
		m.SlopeErrors[i] = math.Sqrt(variance * inverse[i+1][i+1])
	}
}

// invert inverts a normal matrix by Gauss-Jordan elimination with partial pivoting. It first scales the diagonal to 1,
// since the predictors differ in magnitude.
func invert(matrix [][]float64) ([][]float64, error) {
	n := len(matrix)
	scale := make([]float64, n)
	for i := range n {
		if matrix[i][i] <= 0 {
			return nil, errors.New("a predictor is 0 in all samples")
		}
		scale[i] = 1 / math.Sqrt(matrix[i][i])
	}
	augmented := make([][]float64, n)
	for i := range n {
		augmented[i] = make([]float64, 2*n)
		for j := range n {
			augmented[i][j] = matrix[i][j] * scale[i] * scale[j]
		}
		augmented[i][n+i] = 1
	}
	for i := range n {
		if err := eliminateColumn(augmented, i); err != nil {
			return nil, err
		}
	}
	inverse := make([][]float64, n)
	for i := range n {
		inverse[i] = augmented[i][n:]
		for j := range n {
			inverse[i][j] *= scale[i] * scale[j]
		}
	}
	return inverse, nil
}

// minPivot is the minimum pivot of a scaled matrix. Below it, the predictors are taken as linearly dependent.
const minPivot = 1e-9

// eliminateColumn performs one step of Gauss-Jordan elimination: it makes the given column a unit vector.
func eliminateColumn(augmented [][]float64, column int) error {
	pivot := column
	for i := column; i < len(augmented); i++ {
		if math.Abs(augmented[i][column]) > math.Abs(augmented[pivot][column]) {
			pivot = i
		}
	}
	if math.Abs(augmented[pivot][column]) < minPivot {
		return errors.New("the predictors are linearly dependent: the sizes do not vary enough")
	}
	augmented[column], augmented[pivot] = augmented[pivot], augmented[column]
	value := augmented[column][column]
	for j := range augmented[column] {
		augmented[column][j] /= value
	}
	for i := range augmented {
		if i == column {
			continue
		}
		factor := augmented[i][column]
		for j := range augmented[i] {
			augmented[i][j] -= factor * augmented[column][j]
		}
	}
	return nil
}
