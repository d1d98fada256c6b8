// Package kqadmin serves the operators' HTTP interface on the admin address of every host.
package kqadmin
