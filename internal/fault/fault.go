// Package fault has points at which a test may end or stop the process, by their count and not by time. In the program as it
// is built for use there are none: Point does nothing there. A build with the tag "rig" goes by DAMSONTRESTLE_FAULT, as in
// "custody.intended:2:kill": the second time that the point is passed, the process kills itself; "stop" stops it instead,
// until somebody lets it go on.
package fault
