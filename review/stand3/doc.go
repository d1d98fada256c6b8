// Command stand3 runs the scripts of the third review: it starts the system's own processes with
// the commands of the deploy file, and stand-ins for the platform, its instances and its clients.
package main
