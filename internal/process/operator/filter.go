package operator

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// keep drops the rows that don't meet every condition.
func (t *Table) keep(text string, conditions []condition) error {
	for _, c := range conditions {
		i := slices.Index(t.Columns, c.Column.Text)
		if i < 0 {
			return unknown(text, "column", c.Column, t.Columns)
		}
		t.Rows = slices.DeleteFunc(t.Rows, func(row []string) bool { return !c.holds(row[i]) })
	}
	return nil
}

func (c condition) holds(cell string) bool {
	order := compare(cell, c.Value.Text)
	switch c.Op {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case ">":
		return order > 0
	case "<=":
		return order <= 0
	default:
		return order >= 0
	}
}

// compare orders two cells, as numbers where both are.
func compare(a, b string) int {
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	if errX != nil || errY != nil {
		return strings.Compare(a, b)
	}
	return cmp.Compare(x, y)
}
