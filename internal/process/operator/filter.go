package operator

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// filter keeps the rows that meet all conditions.
func (t *Table) filter(text string, conditions []condition) error {
	for _, c := range conditions {
		i := slices.Index(t.Columns, c.Column.Text)
		if i < 0 {
			return unknownName(text, "column", c.Column, t.Columns)
		}
		t.Rows = slices.DeleteFunc(t.Rows, func(row []string) bool { return !c.matches(row[i]) })
	}
	return nil
}

func (c condition) matches(cell string) bool {
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

// compare compares two cells, as numbers if both are.
func compare(a, b string) int {
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	if errX != nil || errY != nil {
		return strings.Compare(a, b)
	}
	return cmp.Compare(x, y)
}
