//go:build !opendoor

package director

// admissionDisabled turns off admission control. It is set by the build tag opendoor, for comparative measurements.
const admissionDisabled = false
