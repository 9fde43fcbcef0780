// Package fault defines points at which a test can kill or stop the process, selected by how often they were passed and not by
// time. In the normal build Point does nothing. In a build with the tag "rig" the environment variable DAMSONTRESTLE_FAULT arms a
// point: with "custody.intended:2:kill" the process kills itself when it passes that point for the second time; with "stop" it
// stops itself until it gets a SIGCONT.
package fault
