//go:build opendoor

package director

const admissionDisabled = true
