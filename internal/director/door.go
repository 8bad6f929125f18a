//go:build !opendoor

package director

// openDoor is set by the build tag of that name alone: a director without admission, to measure against.
const admissionDisabled = false
