//go:build opendoor

package director

// admissionDisabled is true in builds with the tag opendoor, which admit every request.
const admissionDisabled = true
