/** Programs that simulate parts of the platform in tests and in the quick start. */
package org.cicadaford.standin;
