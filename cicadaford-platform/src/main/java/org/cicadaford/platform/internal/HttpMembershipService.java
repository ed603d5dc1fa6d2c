package org.cicadaford.platform.internal;

import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MutableHttpRequest;
import java.net.URI;
import java.util.List;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.MembershipService;
import org.cicadaford.platform.MembershipUnavailableException;
import org.cicadaford.platform.PlatformRoutes;
import org.cicadaford.platform.PlatformRoutes.MemberList;
import org.cicadaford.platform.PlatformSettings;

/**
 * HTTP client of the membership list. It sends conditional requests, so that an unchanged list is
 * not transferred again: every entry instance polls it every second, and the list would be the
 * largest part of their traffic.
 */
public final class HttpMembershipService implements MembershipService {

  private final HttpSender sender;
  private final PlatformSettings settings;
  private volatile CachedMemberList cachedList;

  /** Holds the last list received and its entity tag. */
  private record CachedMemberList(String entityTag, List<Member> members) {}

  /** Creates a client of the membership list at the address in {@code settings}. */
  public HttpMembershipService(HttpSender sender, PlatformSettings settings) {
    this.sender = sender;
    this.settings = settings;
  }

  @Override
  public List<Member> list() throws MembershipUnavailableException {
    MutableHttpRequest<?> request = HttpRequest.GET(address());
    CachedMemberList previous = cachedList;
    if (previous != null) {
      request.header(HttpHeaders.IF_NONE_MATCH, previous.entityTag());
    }
    HttpResponse<byte[]> response = send(request, "use the previous list");
    if (previous != null && response.code() == HttpStatus.NOT_MODIFIED.getCode()) {
      return previous.members();
    }
    List<Member> members = decode(HttpSender.bodyOf(response));
    String entityTag = response.getHeaders().get(HttpHeaders.ETAG);
    cachedList = entityTag == null ? null : new CachedMemberList(entityTag, members);
    return members;
  }

  private static List<Member> decode(byte[] body) throws MembershipUnavailableException {
    try {
      return RecordCodec.decode(body, MemberList.class).members();
    } catch (MalformedRecordException e) {
      throw new MembershipUnavailableException(
          "the membership list is malformed; check that the platform's version is compatible", e);
    }
  }

  @Override
  public void announce(Member member) throws MembershipUnavailableException {
    send(
        HttpRequest.POST(address(), RecordCodec.encode(member))
            .contentType(PlatformRoutes.MESSAGE_PACK),
        "announce again");
  }

  private HttpResponse<byte[]> send(MutableHttpRequest<?> request, String remedy)
      throws MembershipUnavailableException {
    try {
      HttpResponse<byte[]> response = sender.sendAndWait(request, settings.requestTimeoutMillis());
      if (isSuccess(response.code())) {
        return response;
      }
      throw new MembershipUnavailableException(
          "the membership service responded with status " + response.code() + "; " + remedy, null);
    } catch (RequestFailedException e) {
      throw new MembershipUnavailableException(
          "the membership service did not respond; " + remedy, e);
    }
  }

  private static boolean isSuccess(int code) {
    return code / 100 == 2 || code == HttpStatus.NOT_MODIFIED.getCode();
  }

  private URI address() {
    return HttpSender.address(settings.logHost(), settings.logPort(), PlatformRoutes.MEMBERS, null);
  }
}
