//go:build race

package e2e

// raceFlag builds the daemons like the tests.
const raceFlag = "-race"
