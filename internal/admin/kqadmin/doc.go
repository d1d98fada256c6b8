// Package kqadmin serves operators on the admin address of every host.
package kqadmin
