package call

// CopyResult is what an endpoint answered when it was asked to copy the memory of a run.
type CopyResult int

// The results of a copy.
const (
	Copied           CopyResult = iota
	NoSuchRun                   // the run has not begun, or has ended
	CopyUnderWay                // another copy of the run is under way
	NoRoom                      // the destination has no room or cannot be reached
	OtherIncarnation            // another incarnation has the address: the one that was called has ended
	CopyFailed                  // any other answer, which tells nothing
)

// String returns the name of the result in logs and metrics.
func (r CopyResult) String() string {
	return [...]string{"copied", "no_run", "under_way", "no_room", "gone", "failed"}[r]
}

// Copy is the answer to a copy of the memory of a run. Handle names the memory from which the run can
// continue. Created is the number of events of the run so far.
type Copy struct {
	Result  CopyResult
	Handle  string
	Created int
}
