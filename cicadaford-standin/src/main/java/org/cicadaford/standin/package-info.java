/** Small programs that take the platform's place in tests and in the quick start. */
package org.cicadaford.standin;
