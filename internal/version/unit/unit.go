// Package unit gives each measured quantity a type of its own.
//
// Durations are time.Duration throughout; what has no type in the standard
// library is here.
package unit

import "strconv"

// Tokens counts prompt or generated tokens.
type Tokens int64

// Bytes counts bytes.
type Bytes int64

// Money is an amount in millionths of the operators' currency.
type Money int64

const (
	// Kilobyte is a thousand bytes.
	Kilobyte Bytes = 1000
	// Megabyte is a million bytes.
	Megabyte Bytes = 1000 * Kilobyte
	// Gigabyte is the volume that link prices are stated for.
	Gigabyte Bytes = 1000 * Megabyte

	// Coin is one whole unit of the operators' currency.
	Coin Money = 1_000_000
)

// String renders m in whole currency with all its decimals.
func (m Money) String() string {
	return strconv.FormatFloat(float64(m)/float64(Coin), 'f', 6, 64)
}
