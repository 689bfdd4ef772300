package quota_test

// requestMix is a typical mix of request sizes in tokens: many short ones, some of medium
// length, and a few that are large compared with the smallest account's rate.
var requestMix = []float64{2000, 9000, 2000, 2000, 700, 9000, 2000, 700, 30000, 2000, 700, 2000}

// requestSize returns the size of the n-th request of a box: size, or one of requestMix if
// size is zero.
func requestSize(size float64, box, n int) float64 {
	if size > 0 {
		return size
	}
	return requestMix[(5*box+n)%len(requestMix)]
}
