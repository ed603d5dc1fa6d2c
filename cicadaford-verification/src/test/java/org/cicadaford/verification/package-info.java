/** Tests of whole processes under failure: killed, frozen, cut off, and without the platform. */
package org.cicadaford.verification;
