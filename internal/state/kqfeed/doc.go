// Package kqfeed carries accepted changes from the control hosts to the entry
// hosts: a Hub on each control host pushes changes to its subscribers, a
// Follower on each entry host keeps the view in force and decides by a lease
// what a host that was cut off may still do.
package kqfeed
