package keyvalue

import "strconv"

// Era counts how often a store has been restored from an older copy of itself. A
// restored store has lost its latest writes and leases, and gives out their numbers
// again, so a number alone does not tell two of them apart. Revision and LeaseID hold
// the era beside the number: a revision of a later era is higher than any of an
// earlier one.
type Era uint64

// numberBits is the size of a store's own number within a Revision: at 1,000 writes a
// second it lasts for 35 years. The bits above hold the era. Revisions of the first
// 8,000 eras are exact as floating-point numbers too, as which a fence may be decoded.
const numberBits = 40

const numberMask = 1<<numberBits - 1

// EraBits is the size of an Era within a Revision.
const EraBits = 64 - numberBits

// NewRevision returns the revision of the write that a store numbers number in an era.
// The number zero means absent in all eras.
func NewRevision(era Era, number uint64) Revision {
	if number == 0 {
		return 0
	}
	return Revision(uint64(era)<<numberBits | number&numberMask)
}

// Era returns the era in which the store gave out the revision.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the store's own number of the revision.
func (r Revision) Number() uint64 { return uint64(r) & numberMask }

// String returns "2/17" for number 17 of era 2, and "17" if the store names no eras.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(uint64(r.Era()), 10) + "/" + number
}
