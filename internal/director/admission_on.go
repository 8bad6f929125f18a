//go:build !opendoor

package director

// admissionDisabled turns off admission control. Only the build tag opendoor sets it, to build a director without
// admission control for comparative measurements.
const admissionDisabled = false
