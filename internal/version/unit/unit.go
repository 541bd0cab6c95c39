// Package unit defines types for tokens, bytes and money. Durations are
// time.Duration throughout.
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
	// Gigabyte is a thousand million bytes, the unit of link prices.
	Gigabyte Bytes = 1000 * Megabyte

	// Coin is one whole unit of the operators' currency.
	Coin Money = 1_000_000
)

// String formats m in coins with six decimals.
func (m Money) String() string {
	return strconv.FormatFloat(float64(m)/float64(Coin), 'f', 6, 64)
}
