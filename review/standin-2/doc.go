// Command standin-2 plays the cases of the second review: it starts nodes of the project as processes, beside small stand-ins of the platform's
// store, of servers and of requesters, and checks one rule from what these see.
package main
