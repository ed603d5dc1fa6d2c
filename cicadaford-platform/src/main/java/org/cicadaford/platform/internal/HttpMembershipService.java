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
 * Client of the membership list over HTTP. A list that has not changed is not sent again: polled
 * every second by every entry instance, it would be the largest part of their traffic.
 */
public final class HttpMembershipService implements MembershipService {

  private final HttpSender sender;
  private final PlatformSettings settings;
  private volatile Cached cached;

  /** The last list and the tag by which the platform tells whether it has changed. */
  private record Cached(String entityTag, List<Member> members) {}

  /** Creates a client of the list that {@code settings} name. */
  public HttpMembershipService(HttpSender sender, PlatformSettings settings) {
    this.sender = sender;
    this.settings = settings;
  }

  @Override
  public List<Member> list() throws MembershipUnavailableException {
    MutableHttpRequest<?> request = HttpRequest.GET(address());
    Cached known = cached;
    if (known != null) {
      request.header(HttpHeaders.IF_NONE_MATCH, known.entityTag());
    }
    HttpResponse<byte[]> response = send(request, "use the last list");
    if (known != null && response.code() == HttpStatus.NOT_MODIFIED.getCode()) {
      return known.members();
    }
    List<Member> members = decode(HttpSender.bodyOf(response));
    String entityTag = response.getHeaders().get(HttpHeaders.ETAG);
    cached = entityTag == null ? null : new Cached(entityTag, members);
    return members;
  }

  private static List<Member> decode(byte[] body) throws MembershipUnavailableException {
    try {
      return RecordCodec.decode(body, MemberList.class).members();
    } catch (MalformedRecordException e) {
      throw new MembershipUnavailableException(
          "the membership list is malformed; check the platform's version", e);
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
          "the membership list answered with status " + response.code() + "; " + remedy, null);
    } catch (RequestFailedException e) {
      throw new MembershipUnavailableException("the membership list did not answer; " + remedy, e);
    }
  }

  private static boolean isSuccess(int code) {
    return code / 100 == 2 || code == HttpStatus.NOT_MODIFIED.getCode();
  }

  private URI address() {
    return HttpSender.address(settings.logHost(), settings.logPort(), PlatformRoutes.MEMBERS, null);
  }
}
