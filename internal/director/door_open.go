//go:build opendoor

package director

const openDoor = true
