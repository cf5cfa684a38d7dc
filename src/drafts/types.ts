export class Drafts {
  private constructor() {}

  static create(): Drafts {
    return new Drafts();
  }
}
