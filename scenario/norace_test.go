//go:build !race

package scenario

// raceFlags are the build flags of the programs. The race detector is on if it is on in the tests.
var raceFlags []string
