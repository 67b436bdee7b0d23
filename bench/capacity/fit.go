package capacity

import (
	"math"

	"github.com/cockroachdb/errors"
)

// errSingular is returned when the normal equations have no unique solution.
var errSingular = errors.New("observations do not determine the slopes")

// leastSquares returns the coefficients b that minimise the squared error of
// y = b·x over the observations.
func leastSquares(observations []observation) ([]float64, error) {
	if len(observations) == 0 {
		return nil, errSingular
	}
	n := len(observations[0].x)
	// Augmented matrix of the normal equations; the last column is the right-hand side.
	rows := make([][]float64, n)
	for i := range rows {
		rows[i] = make([]float64, n+1)
		for _, o := range observations {
			for j := range n {
				rows[i][j] += o.x[i] * o.x[j]
			}
			rows[i][n] += o.x[i] * o.y
		}
	}
	return solve(rows)
}

// solve solves a linear system, given as augmented matrix, by Gauss-Jordan elimination
// with partial pivoting. It overwrites rows.
func solve(rows [][]float64) ([]float64, error) {
	n := len(rows)
	for c := range n {
		pivot := c
		for r := c; r < n; r++ {
			if math.Abs(rows[r][c]) > math.Abs(rows[pivot][c]) {
				pivot = r
			}
		}
		rows[c], rows[pivot] = rows[pivot], rows[c]
		if math.Abs(rows[c][c]) < 1e-9 {
			return nil, errSingular
		}
		for r := range n {
			if r == c {
				continue
			}
			f := rows[r][c] / rows[c][c]
			for k := c; k <= n; k++ {
				rows[r][k] -= f * rows[c][k]
			}
		}
	}
	b := make([]float64, n)
	for i := range b {
		b[i] = rows[i][n] / rows[i][i]
	}
	return b, nil
}
